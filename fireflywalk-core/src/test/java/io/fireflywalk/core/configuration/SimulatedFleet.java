package io.fireflywalk.core.configuration;

import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.MemberSet;
import io.fireflywalk.core.membership.MemberSubset;
import io.fireflywalk.core.membership.RelayTree;
import io.fireflywalk.core.membership.RoundCoordinator;
import io.fireflywalk.core.membership.RoundParticipant;
import io.fireflywalk.core.membership.RoundRequest;
import io.fireflywalk.core.membership.RoundResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Simulates a fleet whose clocks, messages, store, crashes and partitions are driven by random steps. Messages may be
 * reordered, lost or delayed for long, and any node may coordinate rounds at any time.
 */
final class SimulatedFleet {
    static final long FRESHNESS_LIMIT_NANOSECONDS = 5_000_000_000L;
    static final double CLOCK_RATE_BOUND = 0.05;
    private static final int MAXIMUM_NODES = 12;
    private static final int MESSAGES_PER_STEP = 4;

    private final Random random;
    private final List<ConfigurationSnapshot> log = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Message> messages = new ArrayList<>();
    private final Set<String> blockedLinks = new HashSet<>();
    private final Map<String, Long> revokedAt = new HashMap<>();
    private final Set<String> acknowledged = new HashSet<>();
    private long trueTime;
    private boolean storeUnavailable;
    private boolean frequentJoins;
    private int usualCoordinator;
    private int peerRenewals;
    private int membershipChanges;
    private int servingChecks;

    SimulatedFleet(long seed, int initialMembers) {
        random = new Random(seed);
        log.add(ConfigurationSnapshot.empty());
        for (int index = 0; index < initialMembers; index++) {
            Node node = addNode();
            append(List.of(DocumentChange.put(new MemberDocument(node.member))));
            node.adopt(head());
        }
        nodes.forEach(node -> node.adopt(head()));
        if (random.nextInt(3) == 0) {
            // Some initial members never receive later log entries while new members join quickly. As the
            // membership grows, a majority of the new members must not supersede a majority of the initial ones.
            frequentJoins = true;
            nodes.forEach(node -> node.permanentlyCutFromChanges = random.nextBoolean());
        }
    }

    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
            nodes.stream().filter(Node::isRunning).forEach(Node::evaluate);
            nodes.forEach(this::checkServing);
        }
    }

    int acknowledgements() {
        return acknowledged.size();
    }

    int peerRenewals() {
        return peerRenewals;
    }

    int membershipChanges() {
        return membershipChanges;
    }

    int servingChecks() {
        return servingChecks;
    }

    private void step() {
        int kind = random.nextInt(1000);
        Node node = nodes.get(random.nextInt(nodes.size()));
        if (frequentJoins && node.isRunning() && !node.permanentlyCutFromChanges && random.nextInt(10) == 0) {
            node.readStore();
            node.changeMembership();
        }
        if (kind < 600) {
            deliver();
        } else if (kind < 780) {
            trueTime += (long) (random.nextDouble() * random.nextDouble() * FRESHNESS_LIMIT_NANOSECONDS / 4);
        } else if (kind < 880) {
            nodes.stream()
                    .filter(Node::isRunning)
                    .skip(usualCoordinator)
                    .findFirst()
                    .ifPresent(Node::beginRound);
        } else if (kind < 885) {
            usualCoordinator = random.nextInt(nodes.size());
        } else if (kind < 895 && node.isRunning()) {
            node.beginRound();
        } else if (kind < 905 && node.isRunning()) {
            node.readStore();
        } else if (kind < 915 && node.isRunning()) {
            node.changeKey();
        } else if (kind < 935 && node.isRunning()) {
            node.changeMembership();
            if (frequentJoins && nodes.size() < MAXIMUM_NODES) {
                addNode();
            }
        } else if (kind < 955 && node.isRunning()) {
            node.push();
        } else if (kind < 965) {
            toggleLink();
        } else if (kind < 970) {
            storeUnavailable = random.nextInt(2) == 0;
        } else if (kind < 980) {
            node.paused = !node.paused;
        } else if (kind < 983 && nodes.stream().filter(Node::isRunning).count() > 2) {
            // A terminated node never returns; a restart is a new node.
            node.terminated = true;
        } else if (kind < 987 && nodes.size() < MAXIMUM_NODES) {
            addNode();
        } else if (kind < 993) {
            node.cutFromChanges = !node.cutFromChanges;
        } else {
            blockedLinks.clear();
            nodes.forEach(each -> each.paused = false);
            nodes.stream().filter(each -> random.nextBoolean()).forEach(each -> each.cutFromChanges = false);
        }
    }

    private void deliver() {
        for (int count = 0; count < MESSAGES_PER_STEP; count++) {
            Optional<Message> deliverable = messages.stream()
                    .filter(message -> message.notBefore <= trueTime)
                    .findFirst();
            if (deliverable.isEmpty()) {
                return;
            }
            messages.remove(deliverable.get());
            deliver(deliverable.get());
        }
    }

    private void deliver(Message message) {
        if (blockedLinks.contains(message.from + ">" + message.to) || random.nextInt(50) == 0) {
            return;
        }
        Optional<Node> receiver =
                nodes.stream().filter(node -> node.name().equals(message.to)).findFirst();
        if (receiver.isPresent() && receiver.get().terminated) {
            return;
        }
        if (receiver.isPresent() && receiver.get().paused) {
            messages.add(message);
            return;
        }
        message.effect.run();
    }

    private void toggleLink() {
        String from = nodes.get(random.nextInt(nodes.size())).name();
        String to = nodes.get(random.nextInt(nodes.size())).name();
        String link = from + ">" + to;
        if (!blockedLinks.remove(link)) {
            blockedLinks.add(link);
        }
    }

    private Node addNode() {
        String name = "node-" + nodes.size();
        Node node = new Node(new Member(name, name, "region", "zone", "127.0.0.1", 1));
        nodes.add(node);
        return node;
    }

    private void send(String from, String to, Runnable effect) {
        boolean delayed = random.nextInt(8) == 0;
        long delay = delayed ? (long) (random.nextDouble() * FRESHNESS_LIMIT_NANOSECONDS * 1.5) : 0;
        messages.add(new Message(from, to, trueTime + delay, effect));
    }

    private ConfigurationSnapshot head() {
        return log.get(log.size() - 1);
    }

    private ConfigurationSnapshot append(List<DocumentChange> changes) {
        ConfigurationSnapshot next = head().apply(log.size(), changes);
        log.add(next);
        return next;
    }

    /** Commits at the store if the base is its head. The response to the node may be lost. */
    private void commit(Node node, long base, List<DocumentChange> changes, Consumer<ConfigurationSnapshot> onCommit) {
        send(node.name(), "store", () -> {
            if (storeUnavailable || head().version() != base) {
                return;
            }
            ConfigurationSnapshot next = append(changes);
            changes.stream()
                    .filter(change -> change.kind() == DocumentKind.API_KEY)
                    .forEach(change -> revokedAt.put(change.name(), next.version()));
            send("store", node.name(), () -> onCommit.accept(next));
        });
    }

    private void checkServing(Node node) {
        if (!node.isRunning() || !node.mayServe()) {
            return;
        }
        servingChecks++;
        for (String key : acknowledged) {
            if (node.snapshot.version() < revokedAt.get(key)) {
                throw new AssertionError(node.name() + " serves requests at version " + node.snapshot.version()
                        + ", but " + key + " was revoked at " + revokedAt.get(key) + " and acknowledged");
            }
        }
    }

    private record Message(String from, String to, long notBefore, Runnable effect) {}

    /** An instance: the state machines of the daemon, with simulated messages between nodes. */
    private final class Node {
        private final Member member;
        private final double clockRate = 1 + CLOCK_RATE_BOUND * (2 * random.nextDouble() - 1);
        private ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();
        private Freshness freshness = Freshness.none(FRESHNESS_LIMIT_NANOSECONDS);
        private RoundParticipant participant = RoundParticipant.create();
        private RoundCoordinator coordinator;
        private final List<ChangeAcknowledgement> pending = new ArrayList<>();
        private Optional<ChangeAcknowledgement> membershipAcknowledgement = Optional.empty();
        private boolean paused;
        private boolean terminated;
        private boolean leaving;
        /** Heartbeats arrive, but log entries and responses of the store do not. */
        private boolean cutFromChanges;

        private boolean permanentlyCutFromChanges;

        Node(Member member) {
            this.member = member;
            this.coordinator = RoundCoordinator.of(member.incarnation());
        }

        String name() {
            return member.incarnation();
        }

        boolean isRunning() {
            return !paused && !terminated;
        }

        long clock() {
            return (long) (trueTime * clockRate);
        }

        boolean mayServe() {
            return !leaving && freshness.mayServeAuthenticatedRoutes(snapshot, name(), clock());
        }

        void adopt(ConfigurationSnapshot candidate) {
            if (candidate.version() > snapshot.version()) {
                snapshot = candidate;
            }
        }

        void readStore() {
            long startedAt = clock();
            send(name(), "store", () -> {
                if (!storeUnavailable && !cutFromChanges && !permanentlyCutFromChanges) {
                    ConfigurationSnapshot read = head();
                    send("store", name(), () -> {
                        adopt(read);
                        freshness = freshness.renewed(startedAt);
                    });
                }
            });
        }

        void beginRound() {
            MemberSet members = snapshot.memberSet();
            if (!members.contains(name())) {
                return;
            }
            coordinator = coordinator.startRound(members, snapshot.version());
            RoundRequest request = coordinator.request();
            handle(request);
            int own = members.indexOf(name()).getAsInt();
            for (RelayTree.Branch branch :
                    RelayTree.branches(members.size(), own, position -> random.nextInt(3) == 0, random)) {
                Node relay = node(members, branch.relay());
                RoundRequest toRelay = request.withRelay(branch.members());
                send(name(), relay.name(), () -> relay.relay(this, branch.relay(), toRelay));
            }
        }

        void relay(Node coordinatorNode, int position, RoundRequest request) {
            handle(request);
            MemberSet members = snapshot.memberSet();
            MemberSubset[] reachedMembers = {MemberSubset.none()};
            long[] version = {0};
            if (members.fingerprint().equals(request.memberSet())) {
                for (int child : request.relay()) {
                    Node leaf = node(members, child);
                    send(name(), leaf.name(), () -> {
                        leaf.handle(request.withoutRelay());
                        long heldVersion = leaf.snapshot.version();
                        send(leaf.name(), name(), () -> {
                            reachedMembers[0] = reachedMembers[0].with(child);
                            version[0] = Math.max(version[0], heldVersion);
                        });
                    });
                }
            }
            // The response is sent when only some children have responded, as at the relay's deadline.
            send(
                    name(),
                    name(),
                    () -> send(name(), name(), () -> {
                        RoundResponse response =
                                new RoundResponse(Math.max(version[0], snapshot.version()), reachedMembers[0].encode());
                        send(
                                name(),
                                coordinatorNode.name(),
                                () -> coordinatorNode.coordinator = coordinatorNode.coordinator.recordResponse(
                                        request.round(), position, response));
                    }));
        }

        void handle(RoundRequest request) {
            participant = participant.received(request, clock());
            participant
                    .evidence(request, snapshot.memberSet(), name())
                    .filter(evidence -> evidence.version() <= snapshot.version())
                    .ifPresent(evidence -> {
                        freshness = freshness.renewed(evidence.startedAt());
                        peerRenewals++;
                    });
        }

        void changeKey() {
            if (snapshot.memberSet().size() == 0) {
                return;
            }
            String key = "key-" + random.nextInt(1_000_000);
            commit(
                    this,
                    snapshot.version(),
                    List.of(DocumentChange.put(new ApiKey(key, "account", "", true))),
                    next -> {
                        adopt(next);
                        pending.add(ChangeAcknowledgement.begin(
                                next.version(),
                                next.memberSet(),
                                FRESHNESS_LIMIT_NANOSECONDS,
                                CLOCK_RATE_BOUND,
                                clock()));
                        push();
                    });
        }

        void changeMembership() {
            boolean member = snapshot.memberSet().contains(name());
            if (membershipAcknowledgement.isEmpty()
                    || membershipAcknowledgement.get().version() != snapshot.membershipVersion()) {
                membershipAcknowledgement = Optional.of(ChangeAcknowledgement.begin(
                        snapshot.membershipVersion(),
                        snapshot.memberSet(),
                        FRESHNESS_LIMIT_NANOSECONDS,
                        CLOCK_RATE_BOUND,
                        clock()));
                push();
                return;
            }
            if (!membershipAcknowledgement.get().hasMajority()) {
                push();
                return;
            }
            Optional<DocumentChange> change = Optional.empty();
            if (!member && !leaving) {
                change = Optional.of(DocumentChange.put(new MemberDocument(this.member)));
            } else if (member && random.nextInt(4) == 0) {
                leaving = true;
                change = Optional.of(DocumentChange.remove(DocumentKind.MEMBER, name()));
            } else {
                change = nodes.stream()
                        .filter(node -> node.terminated && snapshot.memberSet().contains(node.name()))
                        .findFirst()
                        .map(node -> DocumentChange.remove(DocumentKind.MEMBER, node.name()));
            }
            change.ifPresent(document -> commit(this, snapshot.version(), List.of(document), next -> {
                membershipChanges++;
                adopt(next);
            }));
        }

        /** Sends this node's snapshot to all members, and counts those that confirm its version. */
        void push() {
            ConfigurationSnapshot heldSnapshot = snapshot;
            Set<String> receivers = new HashSet<>();
            heldSnapshot.memberSet().members().forEach(each -> receivers.add(each.incarnation()));
            pending.forEach(change -> change.members().members().forEach(each -> receivers.add(each.incarnation())));
            for (Node receiver : nodes) {
                if (!receivers.contains(receiver.name())) {
                    continue;
                }
                if (receiver.terminated) {
                    countSettled(receiver.name(), Long.MAX_VALUE);
                    continue;
                }
                send(name(), receiver.name(), () -> {
                    if (!receiver.cutFromChanges && !receiver.permanentlyCutFromChanges) {
                        receiver.adopt(heldSnapshot);
                    }
                    long version = receiver.snapshot.version();
                    send(receiver.name(), name(), () -> countSettled(receiver.name(), version));
                });
            }
            evaluate();
        }

        void countSettled(String incarnation, long heldVersion) {
            pending.replaceAll(
                    change -> heldVersion >= change.version() ? change.markSettled(incarnation, clock()) : change);
            membershipAcknowledgement = membershipAcknowledgement.map(
                    change -> heldVersion >= change.version() ? change.markSettled(incarnation, clock()) : change);
            evaluate();
        }

        void evaluate() {
            for (ChangeAcknowledgement change : pending) {
                if (change.isAcknowledged(clock())) {
                    revokedAt.forEach((key, version) -> {
                        if (version == change.version()) {
                            acknowledged.add(key);
                        }
                    });
                }
            }
            pending.removeIf(change -> change.isAcknowledged(clock()));
        }

        private Node node(MemberSet members, int position) {
            String incarnation = members.members().get(position).incarnation();
            return nodes.stream()
                    .filter(node -> node.name().equals(incarnation))
                    .findFirst()
                    .orElseThrow();
        }
    }
}
