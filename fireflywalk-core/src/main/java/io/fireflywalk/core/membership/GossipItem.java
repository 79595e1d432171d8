package io.fireflywalk.core.membership;

/**
 * Information that one member gossips to all others under a topic, such as its load or its use of shares.
 *
 * @param incarnation member that published the item
 * @param topic name of the topic
 * @param sequence version of the payload; increases with each new payload of the member for the topic
 * @param payload text in a format defined by the topic
 */
public record GossipItem(String incarnation, String topic, long sequence, String payload) {

    /** Returns the approximate JSON size in bytes; 60 allows for field names, punctuation and the sequence number. */
    public int approximateBytes() {
        return 60 + incarnation.length() + topic.length() + payload.length();
    }

    /** Returns the key under which only the item with the highest sequence number is kept. */
    String key() {
        return incarnation + "/" + topic;
    }
}
