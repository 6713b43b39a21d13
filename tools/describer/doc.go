// Command describer generates docs/settings.md from the declarations in package configurator.
package main
