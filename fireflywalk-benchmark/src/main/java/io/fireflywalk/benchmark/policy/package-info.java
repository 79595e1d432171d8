/** Benchmarks of routing and admission against baseline policies, in virtual time. */
package io.fireflywalk.benchmark.policy;
