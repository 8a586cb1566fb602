// Package routing holds the routes, services and organisations in force, and
// looks up the route and the organisation of a request.
//
// A Table is immutable. A change is made by building a new version and replacing
// the Table as a whole.
package routing
