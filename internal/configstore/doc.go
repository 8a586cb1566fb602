// Package configstore keeps the operators' configuration in the platform's
// key-value service.
//
// A configuration is stored as parts that are named by their content, with a
// manifest that lists them, named likewise. One compare-and-swap of the head
// then puts the new generation in force: that is acceptance. Whatever fails
// before it leaves the old generation as it was.
//
// Parts that no kept generation needs are condemned in the manifest, with the
// modify index they had, before they are deleted at that index. A submission
// that needs a condemned part writes it again first, so that a late delete
// misses it.
package configstore
