// Package chart loads state charts from INI files, refuses incomplete ones, and
// runs them with the stateless library.
//
// The section [chart] names the initial state and the events; each other section
// is a state that maps every event to the next state or to "ignore".
package chart
