package io.fireflywalk.core.configuration;

import io.fireflywalk.core.membership.Member;

/**
 * Membership of one incarnation of the daemon. Instances add and remove these documents themselves, one at a time.
 */
public record MemberDocument(Member member) implements ConfigurationDocument {

    @Override
    public DocumentKind kind() {
        return DocumentKind.MEMBER;
    }

    @Override
    public String name() {
        return member.incarnation();
    }
}
