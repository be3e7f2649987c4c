// Package usage measures the resource usage of this process: processor time,
// memory, and traffic between nodes.
package usage
