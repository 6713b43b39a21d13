// Package estimator estimates the run times of tasks from past run times of their entry.
//
// It keeps a histogram of run times for each entry, with bucket widths that
// double. The counts are halved at a fixed number of observations, so that old
// run times lose weight. The declared run time is used until enough tasks have
// ended.
package estimator
