// Package defaulter gives flags of test programs other defaults than their libraries do, such as a fixed seed for property tests.
package defaulter
