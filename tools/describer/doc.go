// Command describer writes the settings page from the declarations of the configurator.
package main
