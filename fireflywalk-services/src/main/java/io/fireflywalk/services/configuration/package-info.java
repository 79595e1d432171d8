/** Configuration documents in the table service. */
package io.fireflywalk.services.configuration;
