package almondcross

// WithEntries returns a copy that also holds the given entries. It copies the catalogue once,
// where WithEntry copies it for each entry.
func (catalogue Catalogue) WithEntries(list []Entry) Catalogue {
	entries := catalogue.copyEntries()
	for _, entry := range list {
		entries[entry.name] = entry
	}
	catalogue.entries = entries
	return catalogue
}
