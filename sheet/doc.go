// Package sheet formats load reports as a table: runs of one plan with several
// kinds of overload control, or two runs and their difference.
package sheet
