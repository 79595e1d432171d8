/** Measurements of routing and admission against baselines, in virtual time. */
package io.fireflywalk.benchmark.policy;
