import {test} from 'node:test';
import {GoldenCall, GoldenChat, GoldenSession} from './GoldenSession.js';

interface GoldenKind {
  readonly user: 'consorcio' | 'falaj';
  readonly chats?: readonly GoldenChat[];
  readonly calls?: readonly GoldenCall[];
}

/** One session for each kind of request of the example users. */
const KINDS: Readonly<Record<string, GoldenKind>> = {
  'commission-brief': {
    user: 'consorcio',
    chats: [
      {
        title: 'commission brief, long and streamed',
        customer: 'platero-montevideo',
        model: 'inscription-large',
        kind: 'commission_brief',
        prompt: `Draft inscriptions for twelve spoons. ${'Each bears a name. '.repeat(40)}`,
        tokens: 40,
      },
    ],
  },
  proof: {
    user: 'consorcio',
    chats: [1, 2].map(turn => ({
      title: `proof ${turn} of one session`,
      customer: 'bodas-del-este',
      model: 'inscription-small',
      kind: 'proof',
      prompt: `Proof ${turn}: Ana y Luis`,
      tokens: 5,
      entry: turn - 1,
      headers: {'sycamorehead-session': 'wedding-7'},
    })),
  },
  'workshop-note': {
    user: 'consorcio',
    chats: [
      {
        title: 'workshop note, whole',
        customer: 'platero-salto',
        model: 'inscription-small',
        kind: 'workshop_note',
        prompt: 'Note for the workshop: oak leaf border',
        tokens: 8,
        stream: false,
      },
    ],
  },
  'order-status': {
    user: 'consorcio',
    calls: [
      {
        title: 'order status',
        customer: 'regalos-centro',
        method: 'GET',
        path: 'orders/orders/7',
      },
    ],
  },
  deposit: {
    user: 'consorcio',
    calls: [0, 1].map(entry => ({
      title: entry === 0 ? 'deposit' : 'deposit, resent to the other entry',
      customer: 'familia-sosa',
      method: 'POST' as const,
      path: 'orders/deposits',
      body: {order: 7, amount: 20},
      key: 'deposit-7',
      entry,
    })),
  },
  'rota-history': {
    user: 'falaj',
    chats: [
      {
        title: 'rota history, long and streamed',
        customer: 'committee-upper',
        model: 'assistant-large',
        kind: 'rota_history',
        prompt: `Draft the schedule. ${'Dawn: east, noon: west. '.repeat(40)}`,
        tokens: 40,
      },
    ],
  },
  'patient-letter': {
    user: 'falaj',
    chats: [
      {
        title: 'patient letter',
        customer: 'clinic-north',
        model: 'assistant-small',
        kind: 'patient_letter',
        prompt: 'A short letter: the appointment moves to Monday',
        tokens: 10,
      },
    ],
  },
  'stock-label': {
    user: 'falaj',
    chats: [
      {
        title: 'stock label, whole, with a key',
        customer: 'shop-dates',
        model: 'assistant-small',
        kind: 'stock_label',
        prompt: 'Label: dates, 500 g',
        tokens: 3,
        stream: false,
        headers: {'idempotency-key': 'label-3'},
      },
      {
        title: 'stock label, resent to the other entry',
        customer: 'shop-dates',
        model: 'assistant-small',
        kind: 'stock_label',
        prompt: 'Label: dates, 500 g',
        tokens: 3,
        stream: false,
        entry: 1,
        headers: {'idempotency-key': 'label-3'},
      },
    ],
  },
  'bucket-booking': {
    user: 'falaj',
    calls: [0, 1].map(entry => ({
      title: entry === 0 ? 'bucket booking' : 'bucket booking, resent',
      customer: 'households-east',
      method: 'POST' as const,
      path: 'rota/bookings',
      body: {turn: 12},
      key: 'booking-12',
      entry,
    })),
  },
  'turn-look-up': {
    user: 'falaj',
    calls: [
      {
        title: 'whose turn it is',
        customer: 'households-west',
        method: 'GET',
        path: 'rota/turns?well=2',
      },
    ],
  },
};

for (const [name, {user, chats, calls}] of Object.entries(KINDS)) {
  test(`golden session of a request kind: ${name}`, async () => {
    const session = await GoldenSession.start(user);
    try {
      for (const chat of chats ?? []) await session.sendChat(chat);
      for (const call of calls ?? []) await session.callService(call);
      await session.compareWithGolden(`kind-${name}`);
    } finally {
      await session.stop();
    }
  });
}
