/** The fields of an OpenAI chat completion request that a fake engine reads. */
export interface ChatBody {
  model?: string;
  chat_id?: string;
  stream?: boolean;
  max_tokens?: number;
  /** Lower values are served first. */
  priority?: number;
  messages: { role: string; content: string }[];
}
