// Package zones keeps the set of evacuated availability zones that the store's records
// show, across lists, watched changes and a return of the store to an older copy.
//
// Load pattern: operators move the whole load of a zone to others within seconds, may do so
// zone after zone, and may take the order back at once. A change that a list already shows
// arrives again with the watch, and a copy of the store may lack an order that is in effect.
package zones
