package io.fireflywalk.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * Splits the members of a round into branches: a relay and the members that it asks. Each round draws new branches, so
 * that a relay that fails costs its branch a single round. Stateless.
 */
public final class RoundTree {
    /** Up to this size the coordinator asks every member itself. */
    private static final int MAXIMUM_DIRECT_MEMBERS = 16;

    private RoundTree() {}

    /**
     * Returns the branches over the positions but the coordinator's. Members that do not count as live are asked by the
     * coordinator itself, a bounded number per round, so that their silence holds up no relay.
     */
    public static List<Branch> branches(int size, int coordinator, IntPredicate isLive, Random random) {
        List<Integer> live = new ArrayList<>();
        List<Integer> silent = new ArrayList<>();
        for (int position = 0; position < size; position++) {
            if (position != coordinator) {
                (isLive.test(position) ? live : silent).add(position);
            }
        }
        Collections.shuffle(live, random);
        Collections.shuffle(silent, random);
        int count = live.size() <= MAXIMUM_DIRECT_MEMBERS ? live.size() : (int) Math.ceil(Math.sqrt(live.size()));
        List<List<Integer>> groups = new ArrayList<>();
        for (int index = 0; index < live.size(); index++) {
            if (index < count) {
                groups.add(new ArrayList<>());
            }
            groups.get(index % count).add(live.get(index));
        }
        List<Branch> branches = new ArrayList<>();
        groups.forEach(group -> branches.add(new Branch(group.get(0), group.subList(1, group.size()))));
        silent.stream()
                .limit(MAXIMUM_DIRECT_MEMBERS)
                .forEach(position -> branches.add(new Branch(position, List.of())));
        return branches;
    }

    /**
     * A part of the members of a round.
     *
     * @param relay position of the member that the coordinator asks
     * @param members positions of the members that the relay asks
     */
    public record Branch(int relay, List<Integer> members) {
        public Branch {
            members = List.copyOf(members);
        }
    }
}
