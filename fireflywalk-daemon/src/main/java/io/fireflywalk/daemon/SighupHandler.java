package io.fireflywalk.daemon;

import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/** Handles SIGHUP, which would otherwise terminate the JVM. */
final class SighupHandler {
    private static final Logger LOG = Logger.getLogger(SighupHandler.class);
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
    private static final String SIGNAL_NAME = "HUP";

    private SighupHandler() {}

    /** Runs the action on each SIGHUP, on a thread of the JVM. */
    static void install(Runnable action) {
        // Uses reflection, because javac warns about any direct use of sun.misc.Signal and the warning cannot be
        // suppressed.
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object handler = Proxy.newProxyInstance(
                    SighupHandler.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Object signal = signalClass.getConstructor(String.class).newInstance(SIGNAL_NAME);
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException exception) {
            LOG.warnf("event=signal_not_handled signal=%s cause=\"%s\"", SIGNAL_NAME, exception);
        }
    }
}
