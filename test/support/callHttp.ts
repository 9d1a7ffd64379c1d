import * as http from 'node:http';

/** What one call gave. */
export interface HttpResult {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Makes one HTTP call on a connection of its own; fails where the answer isn't whole. */
export const callHttp = (
  url: string,
  options: http.RequestOptions = {},
  body = '',
): Promise<HttpResult> =>
  new Promise((resolve, reject) => {
    const request = http.request(url, { agent: false, ...options }, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', reject);
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }),
      );
    });
    request.on('error', reject);
    request.end(body);
  });
