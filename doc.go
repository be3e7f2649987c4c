// Package pomelo defines the interfaces and data types shared by the packages
// of the overload control layer, which implement them.
package pomelo
