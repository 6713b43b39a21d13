// Package estimator estimates the run times of tasks from those of earlier tasks with the same key: the entry for the entry
// role, the queue and the image for the scheduling role.
//
// It keeps two histograms for each key, of the run times and of their ratios to the declared run times, and uses the narrower
// one: where tasks of a key are alike, their run time is known better than from a wrong declaration, and where they differ,
// the declarations tell them apart. Bucket widths are relative. The counts are halved at a fixed number of observations, so
// that old run times lose weight. The declared run time is used until enough tasks have ended. The number of keys is bounded.
package estimator
