/** Admission control: fleet-wide fair sharing among client accounts, bounded queues and early rejection. */
package io.fireflywalk.core.admission;
