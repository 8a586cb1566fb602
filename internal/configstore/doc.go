// Package configstore stores the operators' configuration in the platform's
// key-value service.
//
// A configuration is stored as content-addressed parts and a content-addressed
// manifest that lists them. A submission writes these first, and then puts the
// new generation in force by one compare-and-swap of the head. The submission is
// accepted when this write succeeds; a failure before it leaves the previous
// generation in force.
//
// Parts that no kept generation references are garbage. A manifest marks them
// for deletion with their modify index, and they are deleted only at that index.
// A submission that needs a marked part writes it again first, which changes its
// modify index, so that a delayed delete has no effect.
package configstore
