package pomelo

// SettingsFault is one error in a settings file; Line is 0 when it applies to no single line.
type SettingsFault struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}
