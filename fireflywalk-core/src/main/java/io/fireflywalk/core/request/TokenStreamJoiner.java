package io.fireflywalk.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Joins the event streams of the attempts of one request into one stream without gap or repeat. Token events carry their
 * index, counted from 0, and pass only in order. Events without an index that follow the last token (finish reason,
 * usage) are held until the end marker, so that a stream that breaks between them and the marker can still be resumed
 * without repeating them. Holds the text that a resume needs, up to a bound. Not safe for use by several threads.
 */
public final class TokenStreamJoiner {
    /** Data of the event that ends a complete answer. */
    public static final String END_MARKER = "[DONE]";

    private final TokenTextReader reader;
    private final int maximumEventBytes;
    private final int maximumResumeCharacters;
    private final int maximumHeldEvents;
    private final StringBuilder generatedText = new StringBuilder();
    private final List<StreamEvent> held = new ArrayList<>();
    private StringBuilder output = new StringBuilder();
    private EventStreamParser parser;
    private long nextIndex;
    private boolean resumed;
    private boolean resumable = true;
    private boolean complete;
    private Optional<String> fault = Optional.empty();

    public TokenStreamJoiner(
            TokenTextReader reader, int maximumEventBytes, int maximumResumeCharacters, int maximumHeldEvents) {
        this.reader = reader;
        this.maximumEventBytes = maximumEventBytes;
        this.maximumResumeCharacters = maximumResumeCharacters;
        this.maximumHeldEvents = maximumHeldEvents;
        this.parser = new EventStreamParser(maximumEventBytes, this::take);
    }

    /** Begins the stream of another attempt and forgets what the last one left unfinished. */
    public void startAttempt() {
        parser = new EventStreamParser(maximumEventBytes, this::take);
        held.clear();
        fault = Optional.empty();
        resumed = nextIndex > 0;
    }

    /**
     * Takes the next bytes of the present attempt and returns the text that may be passed on. The end marker itself is
     * not part of it: the caller of this method writes {@link #ending()} once it may end the answer.
     */
    public String accept(byte[] bytes) {
        // A new builder, because one that grew with a large piece would stay large for the rest of a slow stream.
        output = new StringBuilder();
        if (fault.isEmpty() && !complete && !parser.accept(bytes)) {
            fault = Optional.of("an event exceeds its bound");
        }
        return output.toString();
    }

    /** Returns what is wrong with the stream of the present attempt; a wrong stream must be abandoned. */
    public Optional<String> fault() {
        return fault;
    }

    /** Tells whether the end marker has come in order. */
    public boolean complete() {
        return complete;
    }

    /** Returns the events that end a complete answer. */
    public String ending() {
        StringBuilder ending = new StringBuilder();
        held.forEach(event -> event.appendTo(ending));
        new StreamEvent(Optional.empty(), "", END_MARKER).appendTo(ending);
        return ending.toString();
    }

    /** Returns the number of tokens passed on. */
    public long tokens() {
        return nextIndex;
    }

    /** Tells whether the text for a resume is still held. */
    public boolean resumable() {
        return resumable;
    }

    /** Returns the text of all tokens passed on. */
    public String generatedText() {
        return generatedText.toString();
    }

    private void take(StreamEvent event) {
        if (fault.isPresent() || complete) {
            return;
        }
        if (!event.name().isEmpty() && !event.name().equals("message")) {
            fault = Optional.of("the stream has an event of another type");
        } else if (event.data().equals(END_MARKER)) {
            complete = true;
        } else if (event.id().isPresent()) {
            takeToken(event, event.id().get());
        } else {
            takeUnnumbered(event);
        }
    }

    private void takeToken(StreamEvent event, String id) {
        Optional<String> text = reader.textOf(event.data());
        if (!id.equals(Long.toString(nextIndex))) {
            fault = Optional.of("token " + nextIndex + " is missing or repeated");
        } else if (text.isEmpty()) {
            fault = Optional.of("a token event has no text");
        } else {
            if (!resumed) {
                held.forEach(earlier -> earlier.appendTo(output));
            }
            // After a resume, events before the first token repeat the opening of the answer and are dropped.
            held.clear();
            resumed = false;
            event.appendTo(output);
            nextIndex++;
            keepText(text.get());
        }
    }

    private void takeUnnumbered(StreamEvent event) {
        Optional<String> text = reader.textOf(event.data());
        if (text.isEmpty() || !text.get().isEmpty()) {
            fault = Optional.of("an event without an index is not a chunk or carries text");
        } else if (held.size() >= maximumHeldEvents) {
            fault = Optional.of("too many events without an index");
        } else {
            held.add(event);
        }
    }

    private void keepText(String text) {
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
