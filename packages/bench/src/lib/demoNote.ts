/** The release note that the demo publishes. @internal */
export const DEMO_NOTE = `
number: 1
follows: 0
summary: Demo with one model in two versions and one plain service
add:
  versions:
    - {model: inscription, version: v1, inputPrice: 0.2, outputPrice: 0.6, contextTokens: 8192, qualityPrior: 0.8}
    - {model: inscription, version: v2, inputPrice: 2, outputPrice: 6, contextTokens: 32768, qualityPrior: 0.93}
  services:
    - service: orders
      calls:
        - {method: POST, path: /deposits, repeatable: false, priceMicros: 500}
        - {method: GET, path: /orders, repeatable: true}
  customers:
    - customer: taller-demo
      keyHash: KEY_HASH
      models: [{model: inscription, versions: any}]
      services: [orders]
      limits: {requestsPerSecond: 1000, tokensPerSecond: 100000}
      qualityTarget: 0.75
`;
