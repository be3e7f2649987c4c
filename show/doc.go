// Package show builds the tables that answer operators' show commands.
package show
