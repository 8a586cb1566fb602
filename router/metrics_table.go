package router

import "github.com/jujubeford/jujubeford/internal/core"

// instrumentKind is the kind of an OpenTelemetry instrument.
type instrumentKind string

// The kinds of instrument.
const (
	kindHistogram instrumentKind = "histogram"
	kindCounter   instrumentKind = "counter"
	// kindObservableCounter is a counter that is read at each scrape.
	kindObservableCounter instrumentKind = "total"
	kindGauge             instrumentKind = "gauge"
)

// Names of the instruments whose values come from this package, not from the reducer's
// Observe effects.
const (
	nameRefused       = "jujubeford.request.refused"
	nameRequests      = "jujubeford.requests"
	nameReady         = "jujubeford.ready"
	nameGeneration    = "jujubeford.config.generation"
	nameRouters       = "jujubeford.routers"
	nameUpstreams     = "jujubeford.upstreams"
	nameSlots         = "jujubeford.upstream.slots"
	nameWaiting       = "jujubeford.backlog.requests"
	nameOrganisations = "jujubeford.backlog.organisations"
	nameGap           = "jujubeford.backlog.gap"
	nameDropped       = "jujubeford.burn.dropped"
	namePeerBytes     = "jujubeford.peer"
	nameKindBytes     = "jujubeford.peer.kind"
	nameKindMessages  = "jujubeford.peer.messages"
)

// Names of metric labels.
const (
	labelService   = "service"
	labelReason    = "reason"
	labelOutcome   = "outcome"
	labelState     = "state"
	labelDirection = "direction"
	labelKind      = "kind"
)

// instrument describes one instrument. docs/METRICS.md lists them all.
type instrument struct {
	name        string
	kind        instrumentKind
	unit        string
	labels      []string
	description string
	// metric is the metric of the reducer's Observe effects; 0 if the values come from
	// this package.
	metric core.Metric
}

var serviceLabels = []string{labelService}

// instruments lists all instruments of a router. Label values are services, states,
// outcomes, reasons, directions and kinds of message, whose numbers are bounded.
// Organisations are not a label: 3,400 of them would make too many time series.
var instruments = []instrument{
	{nameRequests, kindGauge, "{request}", nil, "Requests taken in here that have not ended.", 0},
	{"jujubeford.request.wait", kindHistogram, "s", serviceLabels, "Time a request waited for a slot.", core.MetricQueueTime},
	{"jujubeford.request.first", kindHistogram, "s", serviceLabels, "Time to the first byte of the answer.", core.MetricTimeToFirstByte},
	{"jujubeford.request.answer", kindHistogram, "s", serviceLabels, "Time to the whole answer.", core.MetricResponseTime},
	{"jujubeford.token.gap", kindHistogram, "s", serviceLabels, "Largest time between tokens in a report period.", core.MetricTokenGap},
	{"jujubeford.served", kindCounter, "", serviceLabels, "Service given, in the service's unit.", core.MetricServed},
	{"jujubeford.request.retried", kindCounter, "{send}", serviceLabels, "Sends after a request's first.", core.MetricRetried},
	{"jujubeford.request.hedged", kindCounter, "{send}", serviceLabels, "Hedged sends.", core.MetricHedged},
	{"jujubeford.request.moved", kindCounter, "{stream}", serviceLabels, "Streams that went on at another upstream.", core.MetricMoved},
	{nameRefused, kindCounter, "{request}", []string{labelReason, labelOutcome}, "Refusals by reason and outcome.", 0},
	{nameReady, kindGauge, "", nil, "1 if the router takes requests, else 0.", 0},
	{nameGeneration, kindGauge, "{generation}", nil, "Generation of the configuration in force.", 0},
	{nameRouters, kindGauge, "{router}", []string{labelState}, "Known routers by state, this one included.", 0},
	{nameUpstreams, kindGauge, "{upstream}", []string{labelService, labelState}, "Upstreams that this router owns, by state.", 0},
	{nameSlots, kindGauge, "{slot}", []string{labelService, labelState}, "Slots of the upstreams that this router owns, granted and free.", 0},
	{nameWaiting, kindGauge, "{request}", serviceLabels, "Requests that wait for slots of this owner, as entries told.", 0},
	{nameOrganisations, kindGauge, "{organisation}", serviceLabels, "Organisations that wait for slots of this owner.", 0},
	{nameGap, kindGauge, "", serviceLabels, "Largest gap in service for the share between organisations that wait here.", 0},
	{nameDropped, kindObservableCounter, "{account}", nil, "Accounts of the burn report dropped at its bounds.", 0},
	{namePeerBytes, kindObservableCounter, "By", []string{labelDirection}, "Bytes between routers on their connections.", 0},
	{nameKindBytes, kindObservableCounter, "By", []string{labelKind}, "Bytes of messages sent to other routers, by kind.", 0},
	{nameKindMessages, kindObservableCounter, "{message}", []string{labelKind}, "Messages sent to other routers, by kind.", 0},
}
