package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.membership.Member;
import java.util.List;

/** Provides the live members. */
@FunctionalInterface
public interface MemberDirectory {

    /** Returns the members considered live, including this one, ordered by incarnation. */
    List<Member> liveMembers();
}
