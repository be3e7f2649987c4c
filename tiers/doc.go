// Package tiers decides which requests of a client account get its tokens while
// the account asks for more than its rate: the more important ones first, and of
// the others a minimum.
package tiers
