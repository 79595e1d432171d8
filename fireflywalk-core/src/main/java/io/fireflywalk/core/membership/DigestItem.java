package io.fireflywalk.core.membership;

/**
 * What one member tells all others on one topic, such as its load or its use of shares.
 *
 * @param incarnation member that the item describes
 * @param topic name of the topic
 * @param sequence number that grows by each new payload of the member on the topic
 * @param payload text in the form that the topic defines
 */
public record DigestItem(String incarnation, String topic, long sequence, String payload) {

    /** Returns the approximate size of the encoded item in bytes. */
    public int approximateBytes() {
        return 60 + incarnation.length() + topic.length() + payload.length();
    }

    /** Returns the topic of the member, under which only the newest item is kept. */
    String key() {
        return incarnation + "/" + topic;
    }
}
