// Package detect finds out when the upstream beside a node has crashed, and which
// calls it ran then. It answers load that ends the processes which serve it.
package detect
