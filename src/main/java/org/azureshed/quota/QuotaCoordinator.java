package org.azureshed.quota;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azureshed.dispatch.PathBackoff;

/**
 * Keeps what the whole fleet runs for an organisation within its limit. For each organisation one
 * node, the first one in an order that all nodes share, grants requests from a token bucket in
 * memory; the others ask it. Not thread-safe.
 *
 * <p>If the granting node does not answer, the next ones in the order are asked. Such a successor
 * first tries to pass the question on, so that a path that fails in one place changes nothing. Only
 * if no earlier node answers does it grant by itself: with the part of the rate that corresponds to
 * the part of the fleet it reaches, so that the parts of a divided fleet together keep the limit.
 * It offers to hand over to an earlier node again and again until one is back.
 *
 * <pre>{@code
 * coordinator.request("museum", limit, now, decision -> proceed(decision));
 * }</pre>
 */
public final class QuotaCoordinator {
    /** Nodes that are asked for one request before this node decides by itself. */
    private static final int MAX_CANDIDATES = 3;

    /** Earlier nodes that a successor passes a question to, and later ones asked for tokens. */
    private static final int MAX_NEIGHBOURS = 2;

    /**
     * Timeout of a question. It covers a receiver that passes the question on to two silent nodes
     * and then collects tokens.
     */
    private static final long ASK_TIMEOUT_MILLIS = 400;

    private static final long PASS_ON_TIMEOUT_MILLIS = 120;
    private static final long HANDOVER_TIMEOUT_MILLIS = 80;

    /** Nodes that know the same fleet need two; more mean that they pass it to each other. */
    private static final int MAX_HOPS = 3;

    /** Interval at which a successor offers to hand over. */
    private static final long HANDOVER_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * A longer gap between ticks means that this process did not run. Another node may have granted
     * requests meanwhile, so its own tokens no longer count.
     */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Probes at each tick while an organisation is near its limit, or calls fail. */
    private static final int PROBES_PER_TICK = 3;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final String ownName;
    private final QuotaPeers peers;
    private final PathBackoff paths;
    private final QuotaBounds bounds;
    private final GrantingOrder order = new GrantingOrder();
    private final FleetReach reach;
    private final Map<String, Held> held = new HashMap<>();
    private final Map<String, List<Waiting>> starting = new HashMap<>();
    private final Map<String, Refusal> refusals = new HashMap<>();
    private long sinceNanos;
    private long lastTickNanos;

    /** The grants of an organisation at this node. */
    private static final class Held {
        private final GrantBucket bucket;
        private long lastOfferNanos;
        private int offers;

        Held(GrantBucket bucket, long nowNanos) {
            this.bucket = bucket;
            this.lastOfferNanos = nowNanos;
        }
    }

    /** A question that waits until this node has begun to grant. */
    private record Waiting(QuotaLimit limit, Consumer<QuotaDecision> done) {}

    /** A refusal that was answered to this node; it holds for a moment. */
    private record Refusal(QuotaDecision.Refused decision, long untilNanos) {}

    /**
     * Creates a coordinator.
     *
     * @param ownName name of this node
     * @param peers the other nodes
     * @param paths recent failures of paths to other nodes
     * @param bounds tolerated excess
     * @param startNanos start of this process
     */
    public QuotaCoordinator(
            String ownName,
            QuotaPeers peers,
            PathBackoff paths,
            QuotaBounds bounds,
            long startNanos) {
        this.ownName = ownName;
        this.peers = peers;
        this.paths = paths;
        this.bounds = bounds;
        this.reach = new FleetReach(ownName, peers, bounds.overRatio());
        this.sinceNanos = startNanos;
        this.lastTickNanos = startNanos;
    }

    /**
     * Decides whether a request may run.
     *
     * @param organisation name of the caller's organisation
     * @param limit its limit in the active configuration
     * @param nowNanos current time
     * @param done receives the decision, at once or when other nodes have answered
     */
    public void request(
            String organisation, QuotaLimit limit, long nowNanos, Consumer<QuotaDecision> done) {
        noticePause(nowNanos);
        Refusal refusal = refusals.get(organisation);
        if (refusal != null && refusal.untilNanos() - nowNanos > 0) {
            done.accept(refusal.decision());
            return;
        }
        List<String> candidates = new ArrayList<>();
        for (String node : order(organisation)) {
            if (candidates.size() < MAX_CANDIDATES && usable(node, nowNanos)) {
                candidates.add(node);
            }
        }
        ask(new QuotaMessage.Ask(organisation, limit, 0), candidates, 0, nowNanos, done);
    }

    /**
     * Answers a message of another node.
     *
     * @param from name of the sender
     * @param message the message
     * @param nowNanos current time
     * @param reply receives the reply, at once or when other nodes have answered
     */
    public void receive(
            String from, QuotaMessage message, long nowNanos, Consumer<QuotaMessage.Reply> reply) {
        noticePause(nowNanos);
        // A node that is back may be known to fail here; two nodes would grant at the same time.
        paths.responded(from);

        switch (message) {
            case QuotaMessage.Ask ask ->
                    grant(
                            ask,
                            nowNanos,
                            decision -> reply.accept(new QuotaMessage.Reply.Decided(decision)));
            case QuotaMessage.Handover handover ->
                    reply.accept(new QuotaMessage.Reply.Tokens(acceptHandover(handover, nowNanos)));
            case QuotaMessage.Ping ignored -> reply.accept(new QuotaMessage.Reply.Reached());
        }
    }

    /**
     * Records the outcome of a call of any kind to another node.
     *
     * @param reached whether the node answered
     * @param nowNanos current time
     */
    public void observeCall(boolean reached, long nowNanos) {
        if (!reached && (!held.isEmpty() || !starting.isEmpty())) {
            reach.callFailed(nowNanos);
        }
    }

    /**
     * Notices pauses of the process, and probes a few nodes while calls fail. Must run a few times
     * a second.
     *
     * @param nowNanos current time
     */
    public void tick(long nowNanos) {
        noticePause(nowNanos);
        lastTickNanos = nowNanos;
        refusals.values().removeIf(refusal -> refusal.untilNanos() - nowNanos <= 0);
        boolean nearLimit =
                held.values().stream().anyMatch(grants -> grants.bucket.nearLimit(nowNanos));
        if (nearLimit || reach.doubtful(nowNanos) && !held.isEmpty()) {
            reach.probe(PROBES_PER_TICK, FleetReach.PROBE_TIMEOUT_MILLIS, nowNanos, now -> {});
        }
    }

    /**
     * Number of organisations whose requests this node grants.
     *
     * @return 0 or more
     */
    public int grantedOrganisations() {
        return held.size();
    }

    /** Asks the candidates one after the other; decides by itself if none answers. */
    private void ask(
            QuotaMessage.Ask ask,
            List<String> candidates,
            int index,
            long nowNanos,
            Consumer<QuotaDecision> done) {
        if (index >= candidates.size() || candidates.get(index).equals(ownName)) {
            grant(ask, nowNanos, done);
            return;
        }
        String node = candidates.get(index);
        call(
                node,
                ask,
                ASK_TIMEOUT_MILLIS,
                (answer, now) -> {
                    if (answer instanceof QuotaMessage.Reply.Decided decided) {
                        remember(ask, decided.decision(), now);
                        done.accept(decided.decision());
                    } else {
                        ask(ask, candidates, index + 1, now, done);
                    }
                });
    }

    /** Keeps a refusal, so that requests of a crowd are refused here until there may be room. */
    private void remember(QuotaMessage.Ask ask, QuotaDecision decision, long nowNanos) {
        if (decision instanceof QuotaDecision.Refused refused) {
            // A fraction of the wait: the order of returning requests is the granting node's. Not
            // longer than one token takes: most refused callers do not return, so that there is
            // room before the time that the refusal names.
            long fraction = TimeUnit.MILLISECONDS.toNanos(refused.retryAfterMillis()) / 4;
            long token = (long) (NANOS_PER_SECOND / ask.limit().requestsPerSecond());
            refusals.put(
                    ask.organisation(), new Refusal(refused, nowNanos + Math.min(fraction, token)));
        }
    }

    /** Grants or refuses a request here, unless an earlier node of the order can be asked. */
    private void grant(QuotaMessage.Ask ask, long nowNanos, Consumer<QuotaDecision> done) {
        Held current = held.get(ask.organisation());
        if (current != null) {
            offerHandover(ask, current, nowNanos);
            current.bucket.apply(ask.limit());
            done.accept(current.bucket.take(share(nowNanos), nowNanos));
        } else if (starting.containsKey(ask.organisation())) {
            starting.get(ask.organisation()).add(new Waiting(ask.limit(), done));
        } else {
            passOn(ask, earlier(ask.organisation(), nowNanos), 0, nowNanos, done);
        }
    }

    private void passOn(
            QuotaMessage.Ask ask,
            List<String> earlier,
            int index,
            long nowNanos,
            Consumer<QuotaDecision> done) {
        if (index >= earlier.size() || ask.hops() >= MAX_HOPS) {
            begin(ask, nowNanos, done);
            return;
        }
        call(
                earlier.get(index),
                ask.passedOn(),
                PASS_ON_TIMEOUT_MILLIS,
                (answer, now) -> {
                    if (answer instanceof QuotaMessage.Reply.Decided decided) {
                        done.accept(decided.decision());
                    } else {
                        passOn(ask, earlier, index + 1, now, done);
                    }
                });
    }

    /** Asks later nodes of the order for their tokens before this node grants its first request. */
    private void begin(QuotaMessage.Ask ask, long nowNanos, Consumer<QuotaDecision> done) {
        String organisation = ask.organisation();
        List<Waiting> waiting = starting.get(organisation);
        if (held.containsKey(organisation) || waiting != null) {
            grant(ask, nowNanos, done);
            return;
        }
        List<Waiting> first = new ArrayList<>();
        first.add(new Waiting(ask.limit(), done));
        starting.put(organisation, first);
        Takeover takeover = new Takeover(ask, later(organisation, nowNanos));
        takeover.start(nowNanos);
    }

    /** Collects the tokens of nodes that may have granted requests before. */
    private final class Takeover {
        private final QuotaMessage.Ask ask;
        private final List<String> nodes;
        private int open;
        private boolean complete = true;
        private OptionalDouble least = OptionalDouble.empty();

        Takeover(QuotaMessage.Ask ask, List<String> nodes) {
            this.ask = ask;
            this.nodes = nodes;
        }

        void start(long nowNanos) {
            if (nodes.isEmpty()) {
                complete = peers.names().size() <= 1;
            }
            // The part of the fleet that this node reaches decides what it may grant at first.
            int probes = reach.doubtful(nowNanos) ? FleetReach.PROBES_AT_FAILURE : 0;
            open = nodes.size() + probes;
            if (open == 0) {
                end(nowNanos);
                return;
            }
            reach.probe(probes, HANDOVER_TIMEOUT_MILLIS, nowNanos, this::oneEnded);
            QuotaMessage message =
                    new QuotaMessage.Handover(
                            ask.organisation(), ask.limit(), OptionalDouble.empty());
            for (String node : nodes) {
                call(node, message, HANDOVER_TIMEOUT_MILLIS, this::onReply);
            }
        }

        private void onReply(QuotaMessage.Reply answer, long nowNanos) {
            if (answer instanceof QuotaMessage.Reply.Tokens reply) {
                reply.tokens()
                        .ifPresent(
                                tokens ->
                                        least =
                                                OptionalDouble.of(
                                                        Math.min(
                                                                tokens,
                                                                least.orElse(Double.MAX_VALUE))));
            } else {
                complete = false;
            }
            oneEnded(nowNanos);
        }

        private void oneEnded(long nowNanos) {
            open--;
            if (open == 0) {
                end(nowNanos);
            }
        }

        private void end(long nowNanos) {
            String organisation = ask.organisation();
            List<Waiting> waiting = starting.remove(organisation);
            if (!held.containsKey(organisation)) {
                held.put(organisation, new Held(bucket(nowNanos), nowNanos));
            }
            for (Waiting question : waiting) {
                grant(
                        new QuotaMessage.Ask(organisation, question.limit(), 0),
                        nowNanos,
                        question.done());
            }
        }

        private GrantBucket bucket(long nowNanos) {
            double share = share(nowNanos);
            // Each node of a small part of the fleet may succeed itself to the granting node.
            double allowance = share > FleetReach.HALF ? bounds.successorAllowance() * share : 0;
            if (least.isPresent()) {
                return new GrantBucket(ask.limit(), least.getAsDouble(), nowNanos);
            }
            // Nobody has granted for it: tokens have been left over since this process started.
            boolean unused = complete && order(ask.organisation()).getFirst().equals(ownName);
            return new GrantBucket(ask.limit(), allowance, unused ? sinceNanos : nowNanos);
        }
    }

    /**
     * Offers the grants to an earlier node of the order, also to one that failed lately: if it is
     * back, other nodes may be asking it already.
     */
    private void offerHandover(QuotaMessage.Ask ask, Held current, long nowNanos) {
        List<String> order = order(ask.organisation());
        int earlier = Math.min(order.indexOf(ownName), MAX_NEIGHBOURS);
        if (earlier <= 0 || nowNanos - current.lastOfferNanos < HANDOVER_INTERVAL_NANOS) {
            return;
        }
        current.lastOfferNanos = nowNanos;
        String node = order.get(current.offers++ % earlier);
        double tokens = current.bucket.tokens(share(nowNanos), nowNanos);
        call(
                node,
                new QuotaMessage.Handover(
                        ask.organisation(), ask.limit(), OptionalDouble.of(tokens)),
                HANDOVER_TIMEOUT_MILLIS,
                (answer, now) -> {
                    if (answer instanceof QuotaMessage.Reply.Tokens) {
                        held.remove(ask.organisation(), current);
                    }
                });
    }

    private OptionalDouble acceptHandover(QuotaMessage.Handover handover, long nowNanos) {
        String organisation = handover.organisation();
        Held current = held.get(organisation);
        if (handover.tokens().isEmpty()) {
            if (current == null) {
                return OptionalDouble.empty();
            }
            held.remove(organisation);
            current.bucket.apply(handover.limit());
            return OptionalDouble.of(current.bucket.tokens(share(nowNanos), nowNanos));
        }
        double tokens = handover.tokens().getAsDouble();
        if (current == null) {
            held.put(
                    organisation,
                    new Held(new GrantBucket(handover.limit(), tokens, nowNanos), nowNanos));
        } else {
            current.bucket.tokens(share(nowNanos), nowNanos);
            current.bucket.reduceTo(tokens, nowNanos);
        }
        return OptionalDouble.empty();
    }

    private interface AnswerListener {
        /** Receives the answer; null if there was none. */
        void onAnswer(QuotaMessage.Reply answer, long nowNanos);
    }

    private void call(
            String node, QuotaMessage message, long timeoutMillis, AnswerListener listener) {
        checkArgument(!node.equals(ownName), "a node does not call itself");
        peers.call(
                node,
                message,
                timeoutMillis,
                (answer, now) -> {
                    observeCall(answer.isPresent(), now);
                    if (answer.isPresent()) {
                        paths.responded(node);
                    } else {
                        paths.failed(node, now);
                    }
                    listener.onAnswer(answer.orElse(null), now);
                });
    }

    private double share(long nowNanos) {
        return reach.share(nowNanos);
    }

    private List<String> earlier(String organisation, long nowNanos) {
        List<String> found = new ArrayList<>();
        for (String node : order(organisation)) {
            if (node.equals(ownName) || found.size() == MAX_NEIGHBOURS) {
                break;
            }
            if (usable(node, nowNanos)) {
                found.add(node);
            }
        }
        if (!found.isEmpty()) {
            // Asked again before this node grants: one lost call must not make two nodes grant.
            found.add(found.getFirst());
        }
        return found;
    }

    private List<String> later(String organisation, long nowNanos) {
        List<String> nodes = order(organisation);
        return nodes.subList(nodes.indexOf(ownName) + 1, nodes.size()).stream()
                .filter(node -> usable(node, nowNanos))
                .limit(MAX_NEIGHBOURS)
                .toList();
    }

    private List<String> order(String organisation) {
        return order.of(organisation, peers.names());
    }

    private boolean usable(String node, long nowNanos) {
        return node.equals(ownName) || !paths.inBackoff(node, nowNanos);
    }

    private void noticePause(long nowNanos) {
        if (nowNanos - lastTickNanos > PAUSE_NANOS) {
            held.clear();
            sinceNanos = nowNanos;
            lastTickNanos = nowNanos;
        }
    }
}
