package maplerail.core;

import java.util.HashMap;
import java.util.Map;
import maplerail.core.Caller.Why;

/**
 * Second stage: contracts and budgets, kept before anything is decided or sent. Brokers of several services may
 * share one, as a team's budget is for all of them.
 */
public final class Admit {
    private static final double BURST_MS = 1_000; // of its rate that a team may use at once
    private static final double BUSY_MS = 100; // advice where calls in flight are the limit

    private final Budgets budgets;
    private final Loop loop;
    private final Map<Integer, Account> accounts = new HashMap<>();
    private int open;

    private static final class Account {
        double tokens;
        double atMs;
        int inFlight;
    }

    /** Why a request is not admitted, and after how long it may be. */
    record Denied(Why why, double retryAfterMs) { }

    /** Makes the keeper of these budgets. */
    public Admit(Budgets budgets, Loop loop) {
        this.budgets = budgets;
        this.loop = loop;
    }

    /** Null if it may go on; it then counts as in flight until {@link #left}. */
    Denied check(Ask ask) {
        if (ask.kind() < budgets.contracts().size() && ask.size() > budgets.contracts().get(ask.kind()).maxBytes()) {
            return new Denied(Why.INVALID, 0);
        }
        if (open >= budgets.maxOpen()) return new Denied(Why.OVERLOAD, BUSY_MS);
        if (ask.tenant() < budgets.teams().size()) {
            Denied denied = charge(budgets.teams().get(ask.tenant()), accountOf(ask.tenant()));
            if (denied != null) return denied;
        }
        open++;
        return null;
    }

    private Denied charge(Budgets.Budget budget, Account account) {
        if (account.inFlight >= budget.inFlight()) return new Denied(Why.BUDGET, BUSY_MS);
        double burst = Math.max(1, budget.perSecond() * BURST_MS / 1_000);
        double now = loop.nowMs();
        account.tokens = Math.min(burst, account.tokens + (now - account.atMs) * budget.perSecond() / 1_000);
        account.atMs = now;
        if (account.tokens < 1) return new Denied(Why.BUDGET, (1 - account.tokens) * 1_000 / budget.perSecond());
        account.tokens -= 1;
        account.inFlight++;
        return null;
    }

    void left(Ask ask) {
        open--;
        if (ask.tenant() < budgets.teams().size()) accountOf(ask.tenant()).inFlight--;
    }

    private Account accountOf(int tenant) {
        return accounts.computeIfAbsent(tenant, t -> {
            Account account = new Account();
            account.tokens = Double.MAX_VALUE;
            account.atMs = loop.nowMs();
            return account;
        });
    }
}
