package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.claim.ClaimOperation;
import io.fireflywalk.core.claim.ClaimResult;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.daemon.peer.MemberDirectory;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends operations to the owner of their shard, several in one message. When the owner does not answer, this instance
 * commits them itself. Confined to one event loop.
 */
public final class ClaimRouter {
    /** Gathers the operations of the same moment into one message. */
    private static final Duration GATHER = Duration.ofMillis(1);

    private static final int OPERATIONS_PER_MESSAGE = 64;

    private final ClaimCommitter committer;
    private final ClaimSender sender;
    private final MemberDirectory members;
    private final Member self;
    private final TimerService timers;
    private final int shards;
    private final Map<String, List<Waiting>> outgoing = new HashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    public ClaimRouter(
            ClaimCommitter committer,
            ClaimSender sender,
            MemberDirectory members,
            Member self,
            TimerService timers,
            int shards) {
        this.committer = committer;
        this.sender = sender;
        this.members = members;
        this.self = self;
        this.timers = timers;
        this.shards = shards;
    }

    /** Emits the operation's result. */
    public Single<ClaimResult> submit(ClaimOperation operation) {
        return Single.defer(() -> {
            String shard = "claim-shard-" + ClaimCommitter.shardOf(operation.key(), shards);
            List<Member> order = RendezvousHashing.rank(members.liveMembers(), shard, 1);
            if (order.isEmpty() || order.get(0).incarnation().equals(self.incarnation())) {
                return committer.submit(operation);
            }
            Waiting waiting = new Waiting(operation, SingleSubject.create());
            enqueue(order.get(0), waiting);
            return waiting.result();
        });
    }

    /** Commits the operations of a peer and emits their results. */
    public Single<ClaimMessages.Results> accept(ClaimMessages.Operations message) {
        return Observable.fromIterable(message.operations())
                .concatMapEagerDelayError(
                        operation -> committer.submit(operation).toObservable(), true)
                .toList()
                .map(ClaimMessages.Results::new);
    }

    /** Stops; waiting operations get no result. */
    public void stop() {
        subscriptions.clear();
    }

    private void enqueue(Member owner, Waiting waiting) {
        List<Waiting> queue = outgoing.computeIfAbsent(owner.incarnation(), name -> new ArrayList<>());
        queue.add(waiting);
        if (queue.size() >= OPERATIONS_PER_MESSAGE) {
            sendAll(owner);
        } else if (queue.size() == 1) {
            subscriptions.add(timers.after(GATHER).observeOn(timers.scheduler()).subscribe(() -> sendAll(owner)));
        }
    }

    private void sendAll(Member owner) {
        List<Waiting> batch = outgoing.remove(owner.incarnation());
        if (batch == null) {
            return;
        }
        ClaimMessages.Operations message = new ClaimMessages.Operations(
                batch.stream().map(Waiting::operation).toList());
        subscriptions.add(sender.send(owner, message)
                .observeOn(timers.scheduler())
                .subscribe(answer -> answered(batch, answer.results()), cause -> answered(batch, List.of())));
    }

    private void answered(List<Waiting> batch, List<ClaimResult> results) {
        for (int i = 0; i < batch.size(); i++) {
            Waiting waiting = batch.get(i);
            if (results.size() == batch.size()) {
                waiting.result().onSuccess(results.get(i));
            } else {
                // The owner may have committed the operation. It carries a token, so a repetition is recognised.
                subscriptions.add(committer.submit(waiting.operation()).subscribe(waiting.result()::onSuccess));
            }
        }
    }

    private record Waiting(ClaimOperation operation, SingleSubject<ClaimResult> result) {}
}
