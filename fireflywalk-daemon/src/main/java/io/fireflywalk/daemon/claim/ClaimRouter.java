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
 * Sends operations to the owner of their shard, several in one message. If the owner does not respond, this instance
 * commits them itself. Confined to one event loop.
 */
public final class ClaimRouter {
    /** Time to wait for further operations that go into the same message. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(1);

    private static final int MAXIMUM_MESSAGE_OPERATIONS = 64;

    private final ClaimCommitter committer;
    private final ClaimSender sender;
    private final MemberDirectory members;
    private final Member self;
    private final TimerService timers;
    private final int shardCount;
    private final Map<String, List<PendingOperation>> pendingByOwner = new HashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    public ClaimRouter(
            ClaimCommitter committer,
            ClaimSender sender,
            MemberDirectory members,
            Member self,
            TimerService timers,
            int shardCount) {
        this.committer = committer;
        this.sender = sender;
        this.members = members;
        this.self = self;
        this.timers = timers;
        this.shardCount = shardCount;
    }

    /** Commits the operation at the owner of its shard and emits the result. */
    public Single<ClaimResult> submit(ClaimOperation operation) {
        return Single.defer(() -> {
            String shard = "claim-shard-" + ClaimCommitter.shardOf(operation.key(), shardCount);
            List<Member> ranking = RendezvousHashing.rank(members.liveMembers(), shard, 1);
            if (ranking.isEmpty() || ranking.get(0).incarnation().equals(self.incarnation())) {
                return committer.submit(operation);
            }
            PendingOperation pending = new PendingOperation(operation, SingleSubject.create());
            enqueue(ranking.get(0), pending);
            return pending.result();
        });
    }

    /** Commits operations received from a peer and emits their results in order. */
    public Single<ClaimMessages.Results> accept(ClaimMessages.Operations message) {
        return Observable.fromIterable(message.operations())
                .concatMapEagerDelayError(
                        operation -> committer.submit(operation).toObservable(), true)
                .toList()
                .map(ClaimMessages.Results::new);
    }

    /** Stops sending; pending operations get no result. */
    public void stop() {
        subscriptions.clear();
    }

    private void enqueue(Member owner, PendingOperation pending) {
        List<PendingOperation> queue =
                pendingByOwner.computeIfAbsent(owner.incarnation(), incarnation -> new ArrayList<>());
        queue.add(pending);
        if (queue.size() >= MAXIMUM_MESSAGE_OPERATIONS) {
            flush(owner);
        } else if (queue.size() == 1) {
            subscriptions.add(
                    timers.after(BATCH_DELAY).observeOn(timers.scheduler()).subscribe(() -> flush(owner)));
        }
    }

    private void flush(Member owner) {
        List<PendingOperation> batch = pendingByOwner.remove(owner.incarnation());
        if (batch == null) {
            return;
        }
        ClaimMessages.Operations message = new ClaimMessages.Operations(
                batch.stream().map(PendingOperation::operation).toList());
        subscriptions.add(sender.send(owner, message)
                .observeOn(timers.scheduler())
                .subscribe(
                        response -> handleResults(batch, response.results()),
                        cause -> handleResults(batch, List.of())));
    }

    private void handleResults(List<PendingOperation> batch, List<ClaimResult> results) {
        for (int i = 0; i < batch.size(); i++) {
            PendingOperation pending = batch.get(i);
            if (results.size() == batch.size()) {
                pending.result().onSuccess(results.get(i));
            } else {
                // The owner may have committed the operation already; the token of the claim identifies the duplicate.
                subscriptions.add(committer.submit(pending.operation()).subscribe(pending.result()::onSuccess));
            }
        }
    }

    private record PendingOperation(ClaimOperation operation, SingleSubject<ClaimResult> result) {}
}
