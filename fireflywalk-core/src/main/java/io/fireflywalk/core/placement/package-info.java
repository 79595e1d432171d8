/** Which model runs on which runner in which role, and which targets are ordered where and at which charge. */
package io.fireflywalk.core.placement;
