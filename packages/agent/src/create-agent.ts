import {
  RelayError,
  ResultCode,
  toRefusal,
  type AgentClient,
  type Announcement,
  type Clock,
  type ContactReport,
  type ControlClient,
  type DataCentreId,
  type DispatchReply,
  type DispatchRequest,
  type EndpointClient,
  type EndpointId,
  type Hlc,
  type Random,
  type ServiceId,
  type Timeline,
  type VmId,
} from '@vanillarelay/core';
import type { Link } from '@vanillarelay/link';

interface AgentOptions {
  id: EndpointId;
  vm: VmId;
  dataCentre: DataCentreId;
  service: ServiceId;
  address: string;
  slots: number;
  incarnation: number;
  clock: Clock;
  random: Random;
  hlc: Hlc;
  timeline: Timeline;
  endpoint: EndpointClient;
  control: Pick<ControlClient, 'propose'>;
  /** The link is made after the agent, which builds its reports. */
  findLink: () => Link;
}

/** Makes the agent of one endpoint: the only way to it. */
export function createAgent(options: AgentOptions) {
  const {
    id,
    vm,
    dataCentre,
    service,
    address,
    slots,
    incarnation,
    hlc,
    timeline,
    endpoint,
    findLink,
  } = options;
  let running = 0;
  let sequence = 0;

  const buildAnnouncement = (): Announcement => {
    sequence += 1;
    return {
      id,
      service,
      address,
      vm,
      dataCentre,
      incarnation,
      status: 'ready',
      slots,
      sequence,
      running,
    };
  };

  const admit = (): void => {
    const { state } = findLink().readView();
    if (findLink().readContact() === 'isolated') {
      throw new RelayError(ResultCode.isolated, 'agent has no contact with control', {
        notRun: true,
      });
    }
    if (state?.dataCentresOut.includes(dataCentre)) {
      throw new RelayError(ResultCode.dataCentreOut, `data centre ${dataCentre} is taken out`, {
        notRun: true,
      });
    }
    if (running >= slots) {
      throw new RelayError(ResultCode.endpointBusy, 'no free slot', { notRun: true });
    }
  };

  async function* passBody(body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
    try {
      yield* body;
    } finally {
      running -= 1;
    }
  }

  const runAdmitted = async (request: DispatchRequest, signal: AbortSignal) => {
    running += 1;
    timeline.record('request.started', { service, running }, request.requestId);
    try {
      const { method, path, headers, body } = request;
      return await endpoint.run({ method, path, headers, body }, signal);
    } catch (error) {
      running -= 1;
      throw error;
    }
  };

  const dispatch = async (
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchReply> => {
    hlc.receive(request.at);
    const head = { stateVersion: findLink().readView().state?.version ?? 0, at: hlc.read() };
    try {
      admit();
      const answer = await runAdmitted(request, signal);
      return {
        ...head,
        type: 'answer',
        status: answer.status,
        headers: answer.headers,
        body: passBody(answer.body),
      };
    } catch (error) {
      return { ...head, type: 'refusal', refusal: toRefusal(error) };
    }
  };

  const readContact = async (stateVersion: number): Promise<ContactReport> => ({
    ...findLink().buildContactReport(stateVersion),
    dataCentre,
  });

  const refuseResume = async (): Promise<DispatchReply> => {
    throw new RelayError(ResultCode.streamUnknown, 'no such stream', { notRun: true });
  };

  const handlers: AgentClient = {
    dispatch,
    resume: refuseResume,
    cancel: async () => {},
    notePlacement: async () => {},
    readContact,
  };

  return { handlers, buildAnnouncement };
}
