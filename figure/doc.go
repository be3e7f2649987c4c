// Package figure plots a burn report as a bar chart.
package figure
