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

    /** Returns the branches over all positions but the coordinator's; relays are drawn from the live members. */
    public static List<Branch> branches(int size, int coordinator, IntPredicate isLive, Random random) {
        List<Integer> relays = new ArrayList<>();
        List<Integer> others = new ArrayList<>();
        for (int position = 0; position < size; position++) {
            if (position != coordinator) {
                (isLive.test(position) ? relays : others).add(position);
            }
        }
        Collections.shuffle(relays, random);
        int count = size - 1 <= MAXIMUM_DIRECT_MEMBERS ? size - 1 : (int) Math.ceil(Math.sqrt(size - 1));
        while (relays.size() > count) {
            others.add(relays.remove(relays.size() - 1));
        }
        if (relays.isEmpty() || size - 1 <= MAXIMUM_DIRECT_MEMBERS) {
            relays.addAll(others);
            others.clear();
        }
        List<List<Integer>> groups = new ArrayList<>();
        relays.forEach(relay -> groups.add(new ArrayList<>()));
        for (int index = 0; index < others.size(); index++) {
            groups.get(index % groups.size()).add(others.get(index));
        }
        List<Branch> branches = new ArrayList<>();
        for (int index = 0; index < relays.size(); index++) {
            branches.add(new Branch(relays.get(index), groups.get(index)));
        }
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
