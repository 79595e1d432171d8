/** JSON and YAML codecs. */
package io.fireflywalk.platform.codec;
