// Package query parses the query and command language of the operators.
package query
