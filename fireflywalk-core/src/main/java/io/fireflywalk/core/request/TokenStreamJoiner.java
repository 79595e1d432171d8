package io.fireflywalk.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Joins the event streams of the attempts of one request into one stream without gaps or duplicates. Token events carry
 * their index, counted from 0, and are forwarded only in order. Events without an index that follow the last token
 * (finish reason, usage) are buffered until the end marker, so that a stream that breaks before the marker can still be
 * resumed without duplicating them. Retains the generated text, which is needed for a resume, up to a maximum length.
 * Not thread-safe.
 */
public final class TokenStreamJoiner {
    /** Data of the event that ends a complete response. */
    public static final String END_MARKER = "[DONE]";

    private final TokenTextExtractor textExtractor;
    private final int maximumEventBytes;
    private final int maximumResumeCharacters;
    private final int maximumBufferedEvents;
    private final StringBuilder generatedText = new StringBuilder();
    private final List<StreamEvent> bufferedEvents = new ArrayList<>();
    private StringBuilder output = new StringBuilder();
    private EventStreamParser parser;
    private long nextIndex;
    private boolean awaitsFirstTokenAfterResume;
    private boolean resumable = true;
    private boolean complete;
    private Optional<String> fault = Optional.empty();

    public TokenStreamJoiner(
            TokenTextExtractor textExtractor,
            int maximumEventBytes,
            int maximumResumeCharacters,
            int maximumBufferedEvents) {
        this.textExtractor = textExtractor;
        this.maximumEventBytes = maximumEventBytes;
        this.maximumResumeCharacters = maximumResumeCharacters;
        this.maximumBufferedEvents = maximumBufferedEvents;
        this.parser = new EventStreamParser(maximumEventBytes, this::handleEvent);
    }

    /** Starts the stream of another attempt and discards the incomplete data of the previous one. */
    public void startAttempt() {
        parser = new EventStreamParser(maximumEventBytes, this::handleEvent);
        bufferedEvents.clear();
        fault = Optional.empty();
        awaitsFirstTokenAfterResume = nextIndex > 0;
    }

    /**
     * Processes the next bytes of the current attempt and returns the events that may be forwarded. The end marker is
     * not among them: the caller writes {@link #endingEvents()} once it may complete the response.
     */
    public String accept(byte[] bytes) {
        // Allocated per call: a reused builder that grew for a large chunk would keep its size for the whole stream.
        output = new StringBuilder();
        if (fault.isEmpty() && !complete && !parser.accept(bytes)) {
            fault = Optional.of("an event exceeds its bound");
        }
        return output.toString();
    }

    /** Returns the protocol error in the stream of the current attempt, if any; the attempt must then be abandoned. */
    public Optional<String> protocolError() {
        return fault;
    }

    /** Returns whether the end marker was received without a preceding error. */
    public boolean complete() {
        return complete;
    }

    /** Returns the buffered events and the end marker, which complete the response. */
    public String endingEvents() {
        StringBuilder ending = new StringBuilder();
        bufferedEvents.forEach(event -> event.appendTo(ending));
        new StreamEvent(Optional.empty(), "", END_MARKER).appendTo(ending);
        return ending.toString();
    }

    /** Returns the number of tokens forwarded. */
    public long forwardedTokens() {
        return nextIndex;
    }

    /** Returns whether the generated text is still retained, so that the stream can be resumed. */
    public boolean resumable() {
        return resumable;
    }

    /** Returns the text of all tokens forwarded, or an empty string if it is no longer retained. */
    public String generatedText() {
        return generatedText.toString();
    }

    private void handleEvent(StreamEvent event) {
        if (fault.isPresent() || complete) {
            return;
        }
        if (!event.type().isEmpty() && !event.type().equals("message")) {
            fault = Optional.of("the stream has an event of another type");
        } else if (event.data().equals(END_MARKER)) {
            complete = true;
        } else if (event.id().isPresent()) {
            handleTokenEvent(event, event.id().get());
        } else {
            handleUnindexedEvent(event);
        }
    }

    private void handleTokenEvent(StreamEvent event, String id) {
        Optional<String> text = textExtractor.extract(event.data());
        if (!id.equals(Long.toString(nextIndex))) {
            fault = Optional.of("token " + nextIndex + " is missing or repeated");
        } else if (text.isEmpty()) {
            fault = Optional.of("a token event has no text");
        } else {
            if (!awaitsFirstTokenAfterResume) {
                bufferedEvents.forEach(buffered -> buffered.appendTo(output));
            }
            // After a resume, events before the first token repeat the start of the response and are dropped.
            bufferedEvents.clear();
            awaitsFirstTokenAfterResume = false;
            event.appendTo(output);
            nextIndex++;
            retainText(text.get());
        }
    }

    private void handleUnindexedEvent(StreamEvent event) {
        Optional<String> text = textExtractor.extract(event.data());
        if (text.isEmpty() || !text.get().isEmpty()) {
            fault = Optional.of("an event without an index is not a chunk or carries text");
        } else if (bufferedEvents.size() >= maximumBufferedEvents) {
            fault = Optional.of("too many events without an index");
        } else {
            bufferedEvents.add(event);
        }
    }

    private void retainText(String text) {
        if (!resumable) {
            return;
        }
        if (generatedText.length() + text.length() > maximumResumeCharacters) {
            resumable = false;
            generatedText.setLength(0);
            generatedText.trimToSize();
        } else {
            generatedText.append(text);
        }
    }
}
