package io.fireflywalk.daemon.ingress;

/** Optional behaviour that a deployment asks for. */
public enum DeploymentFeature {
    /** Callers compete for too few places at times: requests wait for a place and are ordered by priority. */
    CONTENTION
}
