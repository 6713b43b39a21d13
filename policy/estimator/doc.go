// Package estimator learns the run times of entries.
//
// It keeps, for each entry, a histogram of run times in classes that double,
// and halves the counts at a fixed number of observations, so that old run
// times fade. The declared run time counts until enough tasks have ended.
package estimator
