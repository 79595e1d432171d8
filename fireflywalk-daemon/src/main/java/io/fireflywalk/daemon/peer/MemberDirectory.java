package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.membership.Member;
import java.util.List;

/** Tells which members are alive. */
@FunctionalInterface
public interface MemberDirectory {

    /** Returns the members believed alive, this one included, ordered by incarnation. */
    List<Member> liveMembers();
}
