package kv

import (
	"net"
	"net/http"
	"strconv"

	"github.com/jujubeford/jujubeford/store"
)

// service is the API's representation of an instance. Its metadata holds the
// failure domain and the state.
type service struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
}

// nodeServices is the body of the answer to a query of the instance list.
type nodeServices struct {
	Node     struct{ Node string }
	Services []service
}

// registration is the body of a register request.
type registration struct {
	Node    string
	Address string
	Service service
}

// deregistration is the body of a deregister request.
type deregistration struct {
	Node      string
	ServiceID string
}

func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	index, wait, blocking, err := blockingQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, CallInstances) {
		return
	}
	if blocking && !s.awaitChange(w, r, catalogTopic, wait, func() bool { return s.state.catalogChangedSince(index) }) {
		return
	}
	list, current := s.state.instances()
	var body nodeServices
	body.Node.Node = r.PathValue("node")
	body.Services = make([]service, 0, len(list))
	for _, instance := range list {
		body.Services = append(body.Services, toService(instance))
	}
	w.Header().Set(indexHeader, strconv.FormatUint(current, 10))
	writeJSON(w, body)
}

func toService(instance store.Instance) service {
	host, portText, _ := net.SplitHostPort(instance.Addr)
	port, _ := strconv.Atoi(portText)
	return service{
		ID:      instance.ID,
		Service: instance.Service,
		Address: host,
		Port:    port,
		Meta:    map[string]string{"domain": instance.Domain, "state": string(instance.State)},
	}
}

func (s *Server) handleRegister(w http.ResponseWriter, r *http.Request) {
	var body registration
	if err := readJSON(w, r, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, CallRegister) {
		return
	}
	s.state.register(store.Instance{
		ID:      body.Service.ID,
		Service: body.Service.Service,
		Addr:    net.JoinHostPort(body.Service.Address, strconv.Itoa(body.Service.Port)),
		Domain:  body.Service.Meta["domain"],
		State:   store.InstanceState(body.Service.Meta["state"]),
	})
	writeJSON(w, true)
}

func (s *Server) handleDeregister(w http.ResponseWriter, r *http.Request) {
	var body deregistration
	if err := readJSON(w, r, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, CallDeregister) {
		return
	}
	s.state.deregister(body.ServiceID)
	writeJSON(w, true)
}
