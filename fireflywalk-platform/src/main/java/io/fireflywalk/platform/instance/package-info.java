/** The platform's list of instances. */
package io.fireflywalk.platform.instance;
