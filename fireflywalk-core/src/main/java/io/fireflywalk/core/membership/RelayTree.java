package io.fireflywalk.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * Splits the members of a heartbeat round into branches: a relay and the members to which it forwards the heartbeat.
 * Branches are drawn at random in each round, so a failed relay affects its members for a single round. Stateless.
 */
public final class RelayTree {
    /** Up to this number of live members, the coordinator contacts each one directly. */
    private static final int MAXIMUM_DIRECT_MEMBERS = 16;

    private RelayTree() {}

    /**
     * Returns the branches over all positions except the coordinator's. Members that are not considered live are
     * contacted by the coordinator directly, a bounded number per round, so that no relay waits for their time-outs.
     */
    public static List<Branch> branches(int size, int coordinator, IntPredicate isLive, Random random) {
        List<Integer> live = new ArrayList<>();
        List<Integer> unresponsive = new ArrayList<>();
        for (int position = 0; position < size; position++) {
            if (position != coordinator) {
                (isLive.test(position) ? live : unresponsive).add(position);
            }
        }
        Collections.shuffle(live, random);
        Collections.shuffle(unresponsive, random);
        int branchCount = live.size() <= MAXIMUM_DIRECT_MEMBERS ? live.size() : (int) Math.ceil(Math.sqrt(live.size()));
        List<List<Integer>> groups = new ArrayList<>();
        for (int index = 0; index < live.size(); index++) {
            if (index < branchCount) {
                groups.add(new ArrayList<>());
            }
            groups.get(index % branchCount).add(live.get(index));
        }
        List<Branch> branches = new ArrayList<>();
        groups.forEach(group -> branches.add(new Branch(group.get(0), group.subList(1, group.size()))));
        unresponsive.stream()
                .limit(MAXIMUM_DIRECT_MEMBERS)
                .forEach(position -> branches.add(new Branch(position, List.of())));
        return branches;
    }

    /**
     * A relay and its members.
     *
     * @param relay position of the member that the coordinator contacts
     * @param members positions of the members to which the relay forwards the heartbeat
     */
    public record Branch(int relay, List<Integer> members) {
        public Branch {
            members = List.copyOf(members);
        }
    }
}
