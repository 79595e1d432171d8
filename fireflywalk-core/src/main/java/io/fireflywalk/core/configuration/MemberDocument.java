package io.fireflywalk.core.configuration;

import io.fireflywalk.core.membership.Member;

/**
 * Membership of one run of the daemon. Instances add and remove these documents themselves, one at a time.
 *
 * @param member the member
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
