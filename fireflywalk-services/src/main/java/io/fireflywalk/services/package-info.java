/** Adapters around the core: time, codecs, and clients of the platform's services. */
package io.fireflywalk.services;
