// Package distributor chooses the hosts that relay the views of jobs in a large cell.
//
// It answers the load pattern of a cell of hundreds of hosts: the scheduler would send each of them the changes of all jobs,
// bytes that grow with the square of the hosts. ByDataCentre has no state and is safe for concurrent use.
package distributor
