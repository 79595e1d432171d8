/** The platform's list of instances. */
package io.fireflywalk.services.instance;
