/** JSON and YAML codecs. */
package io.fireflywalk.services.codec;
