/** Typed client of the platform's transactional table service. */
package io.fireflywalk.services.table;
